//! Reads record files, host logs and keys.

use std::ffi::{OsStr, OsString};
use std::fs::File;
use std::io::{BufReader, Read};

use serde::Deserialize;
use serde_json::Value;
use wagtail_config::{ConfigError, RawRecord, Record, Row, View};
use wagtail_types::{Epoch, KeyDigest};

use crate::{CtlError, Logs, key_digest};

const MAX_FILE_BYTES: u64 = 256 * 1024 * 1024;
const MAX_KEY_BYTES: u64 = 4_096;

/// Reads the records of several files, in order.
pub(crate) fn all_records(
    files: &[OsString],
    input: &mut (dyn Read + Send),
) -> Result<Vec<RawRecord>, CtlError> {
    let mut all = Vec::new();
    for file in files {
        all.extend(records(file, input)?);
    }
    Ok(all)
}

/// Reads the records of a file: a single JSON object, an array, or several of these in sequence.
fn records(file: &OsStr, input: &mut (dyn Read + Send)) -> Result<Vec<RawRecord>, CtlError> {
    let name = file.display().to_string();
    let input_error = |reason: String| CtlError::Input {
        name: name.clone(),
        reason,
    };
    let mut text = String::new();
    let read = if file == "-" {
        input.take(MAX_FILE_BYTES).read_to_string(&mut text)
    } else {
        let opened = File::open(file);
        opened.and_then(|f| f.take(MAX_FILE_BYTES).read_to_string(&mut text))
    };
    read.map_err(|e| input_error(e.to_string()))?;
    let mut records = Vec::new();
    for value in serde_json::Deserializer::from_str(&text).into_iter::<Value>() {
        let value = value.map_err(|e| input_error(e.to_string()))?;
        let list = match value {
            Value::Array(list) => list,
            single => vec![single],
        };
        for value in list {
            let position = records.len() + 1;
            let raw = RawRecord::deserialize(value)
                .map_err(|e| input_error(format!("record {position}: {e}")))?;
            records.push(raw);
        }
    }
    if records.is_empty() {
        return Err(input_error("the file contains no record".to_owned()));
    }
    Ok(records)
}

/// Reads host logs from files; `-` stands for the input.
pub(crate) fn logs(files: &[OsString], input: &mut (dyn Read + Send)) -> Result<Logs, CtlError> {
    let mut logs = Logs::default();
    for file in files {
        let name = file.display().to_string();
        if file == "-" {
            logs.read(&name, BufReader::new(&mut *input))?;
            continue;
        }
        let opened = File::open(file).map_err(|e| CtlError::Input {
            name: name.clone(),
            reason: e.to_string(),
        })?;
        logs.read(&name, BufReader::new(opened))?;
    }
    Ok(logs)
}

/// Validates records as if they were the whole configuration.
pub(crate) fn check(records: &[RawRecord]) -> Result<View, Vec<ConfigError>> {
    let epoch = Epoch(1);
    let mut errors: Vec<ConfigError> = records
        .iter()
        .filter_map(|raw| Record::try_from(raw).err())
        .collect();
    if !errors.is_empty() {
        return Err(errors);
    }
    let rows = records.iter().filter_map(|raw| Row::put(raw, epoch).ok());
    let view = View::empty().apply(epoch, rows);
    errors.extend_from_slice(view.issues());
    if errors.is_empty() {
        Ok(view)
    } else {
        Err(errors)
    }
}

/// Reads a key and returns its digest; the key itself is not kept.
pub(crate) fn key(input: &mut (dyn Read + Send)) -> Result<KeyDigest, CtlError> {
    let input_error = |reason: &str| CtlError::Input {
        name: "key".to_owned(),
        reason: reason.to_owned(),
    };
    let mut bytes = Vec::new();
    let read = input.take(MAX_KEY_BYTES + 1).read_to_end(&mut bytes);
    read.map_err(|e| input_error(&e.to_string()))?;
    if bytes.len() as u64 > MAX_KEY_BYTES {
        return Err(input_error("the key is longer than 4096 bytes"));
    }
    if bytes.trim_ascii().is_empty() {
        return Err(input_error("the key is empty"));
    }
    Ok(key_digest(&bytes))
}
