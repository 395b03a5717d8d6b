// Package fresh decides how long a document may be relied on. It combines proofs that the document
// was current at a moment, and tells when they have to be renewed.
package fresh
