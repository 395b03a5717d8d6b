package sched

import (
	"testing"

	"foxtailcroft/test/draws"
)

func TestMain(m *testing.M) { draws.Main(m, 100) }
