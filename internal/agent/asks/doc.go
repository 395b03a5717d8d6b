// Package asks gets an agent permits for loads from the weight store at its region's desk.
package asks
