//! Splits overlapping slices into the segments between their boundaries, so
//! that each segment can be checked separately.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{Point, ServiceId, Slice};

/// Groups `items` by service and by the segments of points that they cover. The
/// key of a group is the service and the first point of the segment. Items keep
/// their order within a segment.
pub(crate) fn by_segment<'a, T>(
    items: impl IntoIterator<Item = &'a T> + Clone,
    service_and_slice: impl Fn(&'a T) -> (&'a ServiceId, Slice),
) -> BTreeMap<(&'a ServiceId, Point), Vec<&'a T>> {
    let mut starts: BTreeMap<&ServiceId, BTreeSet<Point>> = BTreeMap::new();
    for item in items.clone() {
        let (service, slice) = service_and_slice(item);
        let service_starts = starts.entry(service).or_default();
        service_starts.insert(slice.first);
        if let Some(after) = slice.last.0.checked_add(1) {
            service_starts.insert(Point(after));
        }
    }
    let mut segments: BTreeMap<(&ServiceId, Point), Vec<&T>> = BTreeMap::new();
    for item in items {
        let (service, slice) = service_and_slice(item);
        let Some(service_starts) = starts.get(service) else {
            continue;
        };
        for start in service_starts.range(slice.first..=slice.last) {
            segments.entry((service, *start)).or_default().push(item);
        }
    }
    segments
}
