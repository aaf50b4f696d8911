use derive_more::{Display, Error};

/// What is wrong with a declaration or a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{file}: {path}: {problem}; {remedy}")]
pub struct ConfigError {
    /// File or other source of the input.
    pub file: String,
    /// Path of the value in the input, such as `services.menu.limit`.
    pub path: String,
    /// What is wrong, with the value found.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl ConfigError {
    /// Creates an error; [`Self::in_file`] sets the file where it is known.
    pub fn new(path: impl Into<String>, problem: impl Into<String>, remedy: &str) -> Self {
        ConfigError {
            file: "text".to_owned(),
            path: path.into(),
            problem: problem.into(),
            remedy: remedy.to_owned(),
        }
    }

    /// Sets the file of the input.
    pub fn in_file(mut self, file: &str) -> Self {
        self.file = file.to_owned();
        self
    }
}
