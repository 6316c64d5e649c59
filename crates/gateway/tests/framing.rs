//! Parsing of request heads, event streams and messages between instances, under random input and
//! fragmentation.

use carobwick_core::EndpointState;
use carobwick_core::Incarnation;
use carobwick_core::InstanceId;
use carobwick_core::Millis;
use carobwick_core::gateway::DemandSample;
use carobwick_core::gateway::EndpointChange;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::StreamKey;
use carobwick_core::gateway::StreamOrigin;
use carobwick_core::gateway::Weights;
use carobwick_gateway::EventFramer;
use carobwick_gateway::HeadCheck;
use carobwick_gateway::HeadInspector;
use carobwick_gateway::read_frame;
use carobwick_gateway::write_frame;
use futures_util::FutureExt;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Number of cases of each property, with a fixed seed so that each run tests the same inputs.
fn proptest_config() -> ProptestConfig {
    ProptestConfig { cases: 1_000, rng_seed: RngSeed::Fixed(20_261_204), ..ProptestConfig::default() }
}

/// Splits bytes at the given positions.
fn fragments<'a>(bytes: &'a [u8], splits: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut positions: Vec<usize> = splits.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    positions.extend([0, bytes.len()]);
    positions.sort_unstable();
    positions.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
}

fn inspect(fragments: &[&[u8]]) -> HeadCheck {
    let inspector = HeadInspector::default();
    for fragment in fragments {
        inspector.inspect(fragment);
    }
    inspector.take_result()
}

fn head_line() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("Content-Length: 3\r\n".to_owned()),
        Just("transfer-encoding: chunked\r\n".to_owned()),
        Just("Content-Length : 4\r\n".to_owned()),
        "[A-Za-z-]{1,12}: [ -~]{0,12}\r\n",
    ]
}

/// Polls a future once. Reading and writing bytes in memory never waits.
fn block_on<T>(work: impl Future<Output = T>) -> T {
    work.now_or_never().expect("bytes in memory are always ready")
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards against a head with two lengths that is accepted because it arrives in fragments.
    #[test]
    fn a_head_check_does_not_depend_on_fragmentation(
        lines in vec(head_line(), 0..6),
        splits in vec(any::<prop::sample::Index>(), 0..4),
    ) {
        let head = format!("POST /x HTTP/1.1\r\n{}\r\n", lines.concat());
        let framed = |line: &&String| {
            let name = line.split(':').next().unwrap_or_default().trim().to_ascii_lowercase();
            name == "content-length" || name == "transfer-encoding"
        };
        let is_ambiguous = lines.iter().filter(framed).count() > 1;
        let whole = inspect(&[head.as_bytes()]);
        prop_assert_eq!(whole == HeadCheck::Ambiguous, is_ambiguous);
        prop_assert_eq!(inspect(&fragments(head.as_bytes(), &splits)), whole);
    }

    /// Guards against accepting bare line feeds and folded lines, which parsers treat differently.
    #[test]
    fn a_head_with_invalid_line_endings_is_ambiguous(
        before in vec(head_line(), 0..2),
        bad_line in "X-A: b\n| folded\r\n",
    ) {
        let head = format!("POST /x HTTP/1.1\r\n{}{bad_line}\r\n", before.concat());
        prop_assert_eq!(inspect(&[head.as_bytes()]), HeadCheck::Ambiguous);
    }

    /// Guards against events that are lost, duplicated or truncated because of how a stream is fragmented.
    #[test]
    fn events_do_not_depend_on_fragmentation(
        events in vec("(id: ?[0-9]{1,3}\n)?data: [ -~]{0,20}\n\n", 0..8),
        truncated in "[ -~]{0,10}",
        splits in vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let whole = events.concat();
        let stream = format!("{whole}{truncated}");
        let mut framer = EventFramer::default();
        let mut forwarded = Vec::new();
        let mut last = None;
        for fragment in fragments(stream.as_bytes(), &splits) {
            let output = framer.push(fragment).unwrap();
            forwarded.extend_from_slice(&output.bytes);
            last = output.last_id.or(last);
        }
        prop_assert_eq!(String::from_utf8(forwarded).unwrap(), whole);
        prop_assert_eq!(framer.is_empty(), truncated.is_empty());
        let id = |event: &String| Some(event.strip_prefix("id:")?.lines().next()?.trim().to_owned());
        prop_assert_eq!(last, events.iter().rev().find_map(id));
    }

    /// Guards against bytes of a faulty or unknown peer that crash the process or make it allocate without
    /// limit.
    #[test]
    fn frames_are_read_or_rejected(bytes in vec(any::<u8>(), 0..64), length in any::<u32>()) {
        let mut claimed = length.to_be_bytes().to_vec();
        claimed.extend(&bytes);
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend(&bytes);
        for frame in [claimed, framed, bytes] {
            // Success and failure are both fine, a panic is not.
            let _change = block_on(read_frame::<EndpointChange>(&mut frame.as_slice()));
            let _resident = block_on(read_frame::<Vec<ResidentModels>>(&mut frame.as_slice()));
        }
    }

    /// Guards against messages that another instance decodes differently, and against accepting truncated
    /// ones.
    #[test]
    fn a_message_is_read_as_it_was_written(instance in "[a-z][a-z0-9-]{0,10}", cut in any::<prop::sample::Index>()) {
        let message: InstanceId = instance.parse().unwrap();
        let mut frame = Vec::new();
        block_on(write_frame(&mut frame, &message)).unwrap();
        prop_assert_eq!(block_on(read_frame::<InstanceId>(&mut frame.as_slice())).unwrap(), message);
        let mut truncated = &frame[..cut.index(frame.len())];
        prop_assert!(block_on(read_frame::<InstanceId>(&mut truncated)).is_err());
    }
}

/// Guards against a stream without event boundaries that exhausts the memory, or whose bytes are forwarded as
/// events.
#[test]
fn a_stream_without_events_is_rejected() {
    let mut framer = EventFramer::default();
    let fragment = vec![b'x'; 64 << 10];
    let rejected = (0..40).position(|_| match framer.push(&fragment) {
        Ok(output) => {
            assert_eq!(output.bytes.len(), 0);
            false
        }
        Err(_) => true,
    });
    assert!(
        rejected.is_some_and(|fragments| fragments * fragment.len() <= 2 << 20),
        "rejected after {rejected:?} fragments"
    );
}

/// Models of the largest fleet that is planned for.
const MODELS: usize = 1_600;
/// Engines of that fleet, one for each accelerator.
const ENGINES: usize = 2_700;
/// Streams that an instance keeps at most.
const STREAMS: u64 = 1 << 15;
/// Adapters of each model.
const ADAPTERS: usize = 4;

fn weights(model: usize, adapter: usize) -> Weights {
    let adapter = (adapter > 0).then(|| format!("a{adapter}").parse().unwrap());
    Weights { model: format!("model-{model:012x}").parse().unwrap(), adapter }
}

/// Returns the entry of an engine that holds four models with their adapters, and copies of 40 others.
fn engine_entry(index: usize) -> EndpointChange {
    let resident = (0..4).map(|offset| {
        let adapters = (1..=ADAPTERS).filter_map(|adapter| weights(0, adapter).adapter);
        (weights((index + offset) % MODELS, 0).model, adapters.collect())
    });
    let cached = (0..40).map(|offset| weights((index + offset) % MODELS, 0).model);
    EndpointChange::Updated(Box::new(EndpointEntry {
        id: format!("i-{index:010x}").parse().unwrap(),
        incarnation: Incarnation(1_779_350_902_375),
        heartbeat: 1_000_000,
        service: "large-language-models".parse().unwrap(),
        addr: "10.250.250.250:65535".parse().unwrap(),
        zone: "availability-zone-7".parse().unwrap(),
        slots: 64,
        state: EndpointState::Live,
        remaining: Some(Millis(100_000)),
        resident: ResidentModels { models: resident.collect(), cached: cached.collect() },
        version: None,
    }))
}

fn stream_origin(index: u64) -> StreamOrigin {
    StreamOrigin {
        key: StreamKey(u64::MAX - index),
        service: "large-language-models".parse().unwrap(),
        version: "v1.20.3-rc1".to_owned().into(),
        remaining: Millis(15_000),
    }
}

/// Guards against messages of a large fleet that no instance accepts, so that its connection to the leader
/// ends again and again.
#[test]
fn the_messages_of_a_large_fleet_fit_into_frames() {
    let list: Vec<EndpointChange> = (0..ENGINES).map(engine_entry).collect();
    let demand: Vec<DemandSample> = (0..MODELS * (ADAPTERS + 1))
        .map(|index| DemandSample {
            service: "large-language-models".parse().unwrap(),
            weights: weights(index / (ADAPTERS + 1), index % (ADAPTERS + 1)),
            requests: 100_000,
            work: 1_000_000_000,
        })
        .collect();
    let streams: Vec<StreamOrigin> = (0..STREAMS).map(stream_origin).collect();
    let [mut list_frame, mut demand_frame, mut streams_frame] = [Vec::new(), Vec::new(), Vec::new()];
    block_on(write_frame(&mut list_frame, &list)).unwrap();
    block_on(write_frame(&mut demand_frame, &demand)).unwrap();
    block_on(write_frame(&mut streams_frame, &streams)).unwrap();
    let (list_bytes, demand_bytes) = (list_frame.len(), demand_frame.len());
    println!("list {list_bytes} bytes, demand {demand_bytes} bytes, streams {} bytes", streams_frame.len());
    let read = block_on(read_frame::<Vec<StreamOrigin>>(&mut streams_frame.as_slice())).unwrap();
    assert_eq!(read, streams);
    let read = block_on(read_frame::<Vec<EndpointChange>>(&mut list_frame.as_slice())).unwrap();
    assert_eq!(read, list);
    let read = block_on(read_frame::<Vec<DemandSample>>(&mut demand_frame.as_slice())).unwrap();
    assert_eq!(read, demand);
}

/// Guards against a frame that is written although the other side rejects its length.
#[test]
fn a_frame_that_is_too_long_is_not_written() {
    let mut frame = Vec::new();
    assert!(block_on(write_frame(&mut frame, &vec![0_u8; (4 << 20) + 1])).is_err());
    assert!(frame.is_empty());
}
