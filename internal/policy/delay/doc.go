// Package delay forecasts how long a request would wait at an instance behind the prompts there, and
// decides whether to reject it because it would miss its response goal at every instance.
package delay
