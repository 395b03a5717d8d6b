// Package fair decides how client accounts that compete for scarce capacity share it.
//
// The load that it answers: one account sends many times its usual demand, or its callers repeat
// at once and often, while other accounts stay below their limits.
package fair
