// Package lender keeps the requests of client accounts within their quotas over all fronts. One
// front, the issuer, keeps the tokens of an account and lends them to the others; a second one,
// the deputy, does so while the issuer does not answer (docs/design/quotas.md).
package lender
