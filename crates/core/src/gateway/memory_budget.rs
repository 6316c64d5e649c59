use std::time::Duration;

use carobwick_derive::key;
use indexmap::IndexMap;

use crate::Time;

/// Time after which an account that received or sent nothing counts as stalled. It covers the pauses of a caller on a slow
/// link, since a request is shed by it only while memory is short.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes that an account must receive or send for progress. Otherwise a byte a second would keep any amount of memory.
const PROGRESS_BYTES: usize = 4 << 10;
/// Size of an account above which only [`LARGE_QUARTERS`] of the budget may be used, so that large bodies leave room for
/// small ones.
const LARGE_BYTES: usize = 64 << 10;
/// Quarters of the budget that all accounts together may use when a large one grows.
const LARGE_QUARTERS: usize = 3;
/// Size up to which a request that runs is never refused memory, so that large responses do not displace small ones.
const SMALL_BYTES: usize = 32 << 10;

/// Divides the memory of an instance among the requests of its callers, and decides which of them are shed when it is
/// used up.
///
/// It is meant for callers that send many large bodies or do not read their responses. A request that receives its body has
/// not been executed and can be refused, and a caller that does not read its response keeps only its own memory; a
/// request that runs is never shed. Accounts that have stalled go first, the one that has stalled longest before the others.
/// If all make progress, the newest goes, so that those which are nearly whole become whole. Large accounts may use three
/// quarters of the budget, so that a crowd of large bodies leaves room for ordinary ones.
///
/// Each change of an account takes constant time. Only the choice of a victim looks at all accounts, and each victim
/// is chosen once.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: usize,
    next_id: u64,
    accounts: IndexMap<AccountId, Account>,
}

/// Id of an account of a [`MemoryBudget`].
#[key]
#[derive(Copy)]
pub struct AccountId(u64);

/// What the memory of an account is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// The body of a request that is not whole yet.
    Receiving,
    /// A request that may have been sent to an endpoint, or the response that is read from there.
    Running,
    /// A response that the caller has not read yet.
    Sending,
}

/// Result of changing the size of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resize {
    /// The account has the size.
    Granted,
    /// The account that is shed, which has been closed. The change must be tried again, unless it is the account itself.
    Shed(AccountId),
    /// There is no account to shed.
    Refused,
}

#[derive(Debug)]
struct Account {
    purpose: MemoryUse,
    bytes: usize,
    /// Time of the last progress.
    progressed: Time,
    /// Bytes received or sent since then.
    moved: usize,
}

impl MemoryBudget {
    /// Creates a budget of so many bytes, of which none are used.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: 0, next_id: 0, accounts: IndexMap::new() }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Opens an account that uses nothing yet.
    pub fn open(&mut self, purpose: MemoryUse, now: Time) -> AccountId {
        let id = AccountId(self.next_id);
        self.next_id += 1;
        self.accounts.insert(id, Account { purpose, bytes: 0, progressed: now, moved: 0 });
        id
    }

    /// Closes an account, which may have been shed.
    pub fn close(&mut self, id: AccountId) {
        if let Some(account) = self.accounts.swap_remove(&id) {
            self.used -= account.bytes;
        }
    }

    /// Sets what the memory of an account is used for.
    pub fn set_purpose(&mut self, id: AccountId, purpose: MemoryUse, now: Time) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.purpose = purpose;
            account.progressed = now;
            account.moved = 0;
        }
    }

    /// Records that an account has received or sent so many bytes.
    pub fn record_moved(&mut self, id: AccountId, bytes: usize, now: Time) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.moved += bytes;
            if account.moved >= PROGRESS_BYTES {
                account.progressed = now;
                account.moved = 0;
            }
        }
    }

    /// Sets the size of an account, if need be by shedding another one or the account itself.
    pub fn resize(&mut self, id: AccountId, bytes: usize, now: Time) -> Resize {
        // An account that is gone has been shed for another one.
        let Some(account) = self.accounts.get(&id) else { return Resize::Shed(id) };
        let is_always_granted = account.purpose == MemoryUse::Running && bytes <= SMALL_BYTES;
        let is_growth = bytes > account.bytes;
        let limit = if bytes > LARGE_BYTES { self.limit / 4 * LARGE_QUARTERS } else { self.limit };
        if is_growth && self.used - account.bytes + bytes > limit {
            if let Some(victim) = self.victim(|other, account| account.bytes > 0 || other == id, now) {
                self.close(victim);
                return Resize::Shed(victim);
            }
            if !is_always_granted {
                return Resize::Refused;
            }
        }
        self.set_bytes(id, bytes);
        Resize::Granted
    }

    /// Sets the size of an account whose response now waits for its caller, which is never refused. Returns the account that is
    /// shed if the others use more than the budget; the change must be made again until none is.
    pub fn set_unread(&mut self, id: AccountId, bytes: usize, now: Time) -> Option<AccountId> {
        self.set_purpose(id, MemoryUse::Sending, now);
        self.set_bytes(id, bytes);
        let own = self.accounts.get(&id).map_or(0, |account| account.bytes);
        if self.used - own <= self.limit {
            return None;
        }
        let victim = self.victim(|other, account| other != id && account.bytes > 0, now)?;
        self.close(victim);
        Some(victim)
    }

    /// Sets the size of an account whose caller has read its response so far, and which runs again.
    pub fn set_read(&mut self, id: AccountId, bytes: usize, now: Time) {
        self.set_purpose(id, MemoryUse::Running, now);
        self.set_bytes(id, bytes);
    }

    /// Closes the account of the body that has stalled longest, and returns it.
    pub fn shed_stalled_body(&mut self, now: Time) -> Option<AccountId> {
        let is_stalled = |account: &Account| {
            account.purpose == MemoryUse::Receiving && now >= account.progressed + STALL_TIME
        };
        let stalled = self.accounts.iter().filter(|(_, account)| is_stalled(account));
        let victim = stalled.min_by_key(|(id, account)| (account.progressed, **id)).map(|(id, _)| *id)?;
        self.close(victim);
        Some(victim)
    }

    fn set_bytes(&mut self, id: AccountId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            self.used = self.used - account.bytes + bytes;
            account.bytes = bytes;
        }
    }

    /// Returns the account that is shed first among those that are eligible.
    fn victim(&self, is_eligible: impl Fn(AccountId, &Account) -> bool, now: Time) -> Option<AccountId> {
        let is_sheddable = |id: AccountId, account: &Account| {
            account.purpose != MemoryUse::Running && is_eligible(id, account)
        };
        let sheddable = || self.accounts.iter().filter(|(id, account)| is_sheddable(**id, account));
        let stalled = sheddable().filter(|(_, account)| now >= account.progressed + STALL_TIME);
        let longest = stalled.min_by_key(|(id, account)| (account.progressed, **id));
        let newest = || sheddable().max_by_key(|(id, _)| **id);
        longest.or_else(newest).map(|(id, _)| *id)
    }
}
