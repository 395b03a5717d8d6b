// Package slots manages an endpoint's accelerator memory: it loads, evicts and
// releases model replicas and admits requests to them.
//
// Invariants, held under Manager's mutex:
//   - a load is ordered only while the view shows an Active slot at this endpoint;
//   - before a load is ordered, the bytes of the new item and of all items that
//     are loaded, loading, unloading or stray fit the endpoint's memory;
//   - no item is unloaded while a request runs on it.
package slots
