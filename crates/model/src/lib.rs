//! Types shared by all roles of hibiscusbarrow.
//!
//! The crate defines the operators' configuration, the settings of a process, job
//! records, and the catalogues of result codes and log events. It performs no I/O.
//!
//! ```
//! use hibiscusbarrow_model::config::Config;
//!
//! let text = r#"{ "accounts": [{ "name": "agency", "quota": [{ "shape": "quad", "count": 2 }] }] }"#;
//! let config = Config::parse("example.jsonc", text).unwrap();
//! assert_eq!(config.accounts[0].name, "agency");
//! ```

pub mod code;
pub mod config;
pub mod diff;
pub mod document;
pub mod event;
pub mod job;
pub mod order;
pub mod settings;
pub mod state;
