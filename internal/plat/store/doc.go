// Package store speaks to the platform's key-value service in the JSON form of the etcd v3 interface.
package store
