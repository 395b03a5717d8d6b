// Package review reports what is wrong with an operator's document before it is submitted, in the operator's words.
package review
