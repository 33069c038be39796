/// Declares `Id`, a wrapper around a string that serialises as the plain string.
macro_rules! declare {
    ($(#[$doc:meta])*) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct Id(std::sync::Arc<str>);

        impl Id {
            /// Wraps `name`. Any string is accepted; checking the settings validates the format.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(name.as_ref().into())
            }

            /// The id as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for Id {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for Id {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl std::borrow::Borrow<str> for Id {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

pub(crate) use declare;
