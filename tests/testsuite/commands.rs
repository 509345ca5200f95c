//! Commands, their error messages and exit codes, and the example files.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// Runs the program in the root of the repository.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the program can be started")
}

/// Runs `check` on a file with this text, in a directory of its own, and returns the exit
/// code and the standard error.
fn check_text(text: &str, flags: &[&str]) -> (Option<i32>, String) {
    let thread = std::thread::current().id();
    let dir = std::env::temp_dir().join(format!(
        "hibiscusbarrow-check-{}-{thread:?}",
        std::process::id()
    ));
    fs::create_dir_all(&dir).expect("the directory can be created");
    fs::write(dir.join("file.jsonc"), text).expect("the file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
        .arg("check")
        .args(flags)
        .arg("file.jsonc")
        .current_dir(&dir)
        .output()
        .expect("the program can be started");
    fs::remove_dir_all(&dir).expect("the directory can be removed");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

#[test]
fn faults_of_a_configuration_name_file_line_column_and_field() {
    let cases = [
        "{ \"accounts\": [",
        "{\n  \"acounts\": []\n}",
        "{\n  \"accounts\": [\n    { \"name\": 7 }\n  ]\n}",
        "{\n  \"accounts\": [\n    { \"name\": \"a\", \"weight\": 0 }\n  ]\n}",
        "{\n  \"accounts\": [\n    { \"name\": \"a\" },\n    { \"name\": \"a\" }\n  ]\n}",
        "{\n  \"jobs\": [\n    { \"name\": \"j\", \"account\": \"x\", \"shape\": \"quad\" }\n  ]\n}",
        "{\n  \"accounts\": [\n    { \"weight\": 1 }\n  ]\n}",
        "{\n  \"accounts\": [\n    { \"name\": \"a\", \"quota\": [{ \"shape\": \"hexagon\", \"count\": 1 }] }\n  ]\n}",
        "{\n  \"accounts\": [\n    { \"name\": \"a\", \"quota\": [{ \"shape\": \"quad\", \"count\": -1 }] }\n  ]\n}",
    ];

    let lines: Vec<String> = cases
        .iter()
        .map(|text| {
            let (code, error) = check_text(text, &[]);
            format!("{} {}", code.unwrap_or(-1), error.trim_end())
        })
        .collect();

    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn faults_of_settings_name_file_line_column_and_field() {
    let valid = r#"{
  "name": "gw", "region": "r", "domain": "d", "secret": "sixteen letters!",
  "http": "127.0.0.1:1", "peer": "127.0.0.1:2", "store": "127.0.0.1:3"
}"#;
    let cases = [
        valid.to_owned(),
        valid.replace("127.0.0.1:3", "127.0.0.1:1"),
        valid.replace("127.0.0.1:3", "localhost:3"),
        valid.replace("sixteen letters!", "short"),
        valid.replace("\"store\"", "\"stor\""),
        valid.replace(
            "127.0.0.1:3\"",
            "127.0.0.1:3\", \"timing\": { \"tick_ms\": 1 }",
        ),
        valid.replace(
            "127.0.0.1:3\"",
            "127.0.0.1:3\", \"timing\": { \"hold_ms\": 1000 }",
        ),
        valid.replace(
            "127.0.0.1:3\"",
            "127.0.0.1:3\", \"limits\": { \"memory_mb\": 1 }",
        ),
        valid.replace(
            "127.0.0.1:3\"",
            "127.0.0.1:3\", \"limits\": { \"max_descriptors\": 1 }",
        ),
        valid.replace(
            "127.0.0.1:3\"",
            "127.0.0.1:3\", \"limits\": { \"memory_mb\": 64, \"max_body_bytes\": 16777216 }",
        ),
        valid.replace(
            "127.0.0.1:3\"",
            "127.0.0.1:3\", \"limits\": { \"body_timeout\": 5 }",
        ),
    ];

    let lines: Vec<String> = cases
        .iter()
        .map(|text| {
            let (code, error) = check_text(text, &["--settings"]);
            format!("{} {}", code.unwrap_or(-1), error.trim_end())
        })
        .collect();

    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn help_lists_every_command() {
    let output = run(&["--help"]);

    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn unreachable_gateway_is_reported_by_result_code_and_exit_code() {
    let output = run(&["status", "-g", "127.0.0.1:1"]);

    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(5), "{errors}");
    assert!(errors.contains("HB506"), "{errors}");
}

#[test]
fn unknown_flag_is_a_usage_error() {
    let output = run(&["status", "--colour"]);

    assert_eq!(output.status.code(), Some(2));
}

/// Returns the files in the subdirectories of `examples`.
fn examples() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let directories = fs::read_dir(root).expect("the directory of examples exists");
    let files = directories.flat_map(|d| fs::read_dir(d.expect("the entry is readable").path()));
    files
        .flatten()
        .map(|f| f.expect("the entry is readable").path())
        .collect()
}

#[test]
fn example_files_are_valid() {
    let files = examples();
    assert!(files.len() >= 6, "{files:?}");
    for file in files {
        let path = file.display().to_string();
        let is_config = path.ends_with("config.jsonc");

        let output = match is_config {
            true => run(&["check", &path]),
            false => run(&["check", "--settings", &path]),
        };

        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{path}: {errors}");
    }
}
