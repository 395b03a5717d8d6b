// Package crash shares between fronts which requests were at instances that crashed,
// and tells which prompt parts must not be sent to instances because of that.
package crash
