// Package permit shares the weight store's bounded rate among the loads of a region.
package permit
