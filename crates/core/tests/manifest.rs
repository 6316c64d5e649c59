//! Manifests that are refused before they can be published.

use carobwick_core::Category;
use carobwick_core::Manifest;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

fn valid() -> Value {
    json!({
        "deployment": "test",
        "objective": {"attainment": 1.0, "moves": 0.5},
        "store": {"rate": 1.5, "concurrent": 2},
        "adapter_loads": 16,
        "zones": ["a", "b"],
        "services": {"llm": {"kind": "engine", "memory": 100, "slots": 8}},
        "models": {"m": {"service": "llm", "version": "1", "size": 60}},
        "adapters": {"m:x": {"base": "m", "version": "1", "size": 10}},
    })
}

#[test]
fn valid_manifest_is_accepted() {
    let manifest = Manifest::from_json(&valid().to_string()).unwrap();
    assert!(manifest.find(&"m:x".parse().unwrap()).is_some());
}

/// Guards against publishing a manifest with an undeclared reference, a value out of range or a model that
/// can't fit.
#[test_case("/models/m/size", json!(101), "models.m.size" ; "model larger than memory")]
#[test_case("/models/m/service", json!("none"), "models.m.service" ; "unknown service")]
#[test_case("/models/m/zones", json!(["c"]), "models.m.zones" ; "unknown zone")]
#[test_case("/adapters/m:x/base", json!("none"), "adapters.m:x.base" ; "unknown base")]
#[test_case("/adapters/m:x/size", json!(41), "adapters.m:x.size" ; "adapter does not fit beside its base")]
#[test_case("/store/rate", json!(0.0), "store" ; "store without rate")]
#[test_case("/services/llm/slots", json!(0), "services.llm.slots" ; "service without slots")]
#[test_case("/zones", json!([]), "zones" ; "no zones")]
fn invalid_value_is_refused_with_its_field_name(pointer: &str, value: Value, field: &str) {
    let mut manifest = valid();
    match manifest.pointer_mut(pointer) {
        Some(found) => *found = value,
        None => manifest["models"]["m"]["zones"] = value,
    }
    let err = Manifest::from_json(&manifest.to_string()).unwrap_err();
    assert_eq!(err.category(), Category::Data);
    assert!(err.to_string().starts_with(field), "{err}");
}
