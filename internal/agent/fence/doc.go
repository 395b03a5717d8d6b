// Package fence detects that the agent's process was paused and confirms its epoch with the store before the next order.
package fence
