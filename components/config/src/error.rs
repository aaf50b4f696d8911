use derive_more::{Display, Error};

/// Why a text, a settings file or a digest was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{file}: {path}: {problem}; {remedy}")]
pub struct ConfigError {
    /// File or other source of the input.
    pub file: String,
    /// Path of the value inside the input, such as `services.menu.limit`.
    pub path: String,
    /// What is wrong, with the value that was found.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl ConfigError {
    /// Makes an error; the file is added where it is known.
    pub fn new(path: impl Into<String>, problem: impl Into<String>, remedy: &str) -> Self {
        ConfigError {
            file: "text".to_owned(),
            path: path.into(),
            problem: problem.into(),
            remedy: remedy.to_owned(),
        }
    }

    /// Names the file that the input came from.
    pub fn in_file(mut self, file: &str) -> Self {
        self.file = file.to_owned();
        self
    }
}
