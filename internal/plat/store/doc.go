// Package store is a client of the platform's key-value service over the JSON gateway of the etcd v3 API.
package store
