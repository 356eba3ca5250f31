//! The callers' interface: OpenAI-compatible serving, plain services, refusals.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
