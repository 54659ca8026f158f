//! The common sets of derives. Each macro takes one item.

/// Gives an item the derives of a plain, copyable value that travels in messages.
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

/// Gives an item that owns memory and travels in messages its derives.
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
