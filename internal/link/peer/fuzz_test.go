package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"testing"
)

// FuzzFrame checks that no bytes make the reader panic or read past the frame bound.
func FuzzFrame(f *testing.F) {
	var buf bytes.Buffer
	if err := (frameCodec{}).WriteObject(&buf, Hello{Node: "a", Epoch: 1}); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 2, '{'})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var v json.RawMessage
		err := frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v)
		if err == nil && len(v) > MaxFrame {
			t.Fatalf("frame of %d bytes", len(v))
		}
	})
}

func TestFrameTooLongIsRefused(t *testing.T) {
	var tooLong *FrameTooLong
	if err := (frameCodec{}).WriteObject(&bytes.Buffer{}, make([]byte, MaxFrame)); !errors.As(err, &tooLong) {
		t.Fatalf("wrote it: %v", err)
	}
}
