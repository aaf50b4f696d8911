use serde::de::DeserializeOwned;

use crate::ConfigError;

/// Parses JSON; an error names the file, the path of the value and the remedy.
pub fn parse_json<T: DeserializeOwned>(file: &str, json: &str) -> Result<T, ConfigError> {
    let mut de = serde_json::Deserializer::from_str(json);
    let value = serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let path = e.path().to_string();
        let inner = e.into_inner();
        let remedy = remedy_for(&inner);
        ConfigError::new(path, inner.to_string(), remedy).in_file(file)
    })?;
    de.end().map_err(|e| {
        ConfigError::new(".", e.to_string(), "remove what follows the JSON value").in_file(file)
    })?;
    Ok(value)
}

fn remedy_for(error: &serde_json::Error) -> &'static str {
    let text = error.to_string();
    if text.contains("unknown field") {
        "remove the field or correct its name"
    } else if text.contains("missing field") {
        "add the field"
    } else if error.is_data() {
        "give a value of the expected type"
    } else {
        "write one well-formed JSON value"
    }
}
