//! The JSON messages exchanged with the key-value service.

use hibiscusbarrow_adapters::store::Compare;
use hibiscusbarrow_adapters::store::PutRequest;

/// The revisions of a comparison are members of one union (`oneof`): a request must not
/// carry both, not even as zeros.
#[test]
fn comparison_sends_at_most_one_revision() {
    for revision in [0, 7] {
        let json = serde_json::to_value(Compare::unchanged("/a", revision)).expect("it encodes");

        let members = ["mod_revision", "create_revision"];
        let sent: Vec<_> = members.iter().filter(|m| json.get(**m).is_some()).collect();
        assert!(sent.len() <= 1, "{json}");
        assert_eq!(json.get("mod_revision").is_some(), revision != 0);
    }
}

/// JSON gateways write 64-bit integers as strings; numbers must be readable as well.
#[test]
fn integers_are_read_from_strings_and_numbers() {
    let text: PutRequest = serde_json::from_str(r#"{ "lease": "7" }"#).expect("it decodes");
    let number: PutRequest = serde_json::from_str(r#"{ "lease": 7 }"#).expect("it decodes");

    assert_eq!((text.lease, number.lease), (7, 7));
}
