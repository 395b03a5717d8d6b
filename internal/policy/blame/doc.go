// Package blame infers from the requests that were at crashed instances which prompt
// parts crash every instance that answers them.
package blame
