// Package proof decides what the attempts of a request prove about whether it has run.
package proof
