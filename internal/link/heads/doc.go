// Package heads judges by HTTP/1.1's grammar (RFC 9110 and 9112) what servers send in answer to requests: status
// lines, fields, lengths, chunk sizes and trailers. net/http's reader accepts more than the grammar does.
package heads
