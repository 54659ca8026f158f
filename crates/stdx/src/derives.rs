//! Macros for common sets of derives. Each macro takes one item.

/// Adds the derives for a plain value that is `Copy` and can be sent in messages.
///
/// # Examples
///
/// ```
/// bilberry_stdx::plain! {
///     /// A count of slots.
///     #[derive(Default)]
///     pub struct Slots(pub u32);
/// }
/// assert_eq!(Slots(3), Slots(3).clone());
/// ```
#[macro_export]
macro_rules! plain {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

/// Adds the derives for data that is `Clone` but not `Copy` and can be sent in messages.
///
/// # Examples
///
/// ```
/// bilberry_stdx::data! {
///     /// A named thing.
///     pub struct Named {
///         /// Its name.
///         pub name: String,
///     }
/// }
/// let named = Named { name: "press".into() };
/// assert_eq!(named, named.clone());
/// ```
#[macro_export]
macro_rules! data {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}
