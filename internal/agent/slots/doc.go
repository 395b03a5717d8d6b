// Package slots owns an endpoint's accelerator memory: it wakes, evicts and
// releases replicas, and lets requests run on them.
//
// Invariants, kept under one lock:
//   - a load is ordered only while the view shows an Active slot here;
//   - the bytes of all items that are loaded, loading, unloading or stray, with
//     the new one, fit the endpoint's memory before a load is ordered;
//   - no item is unloaded while a request runs on it.
package slots
