package peer

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
)

// buffer is a transport in memory.
type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }

// FuzzFrame checks that no bytes make the reader panic or read past the frame bound.
func FuzzFrame(f *testing.F) {
	var buf buffer
	if err := newFrames(&buf, nil).WriteObject(Hello{Node: "a", Epoch: 1}); err != nil {
		f.Fatal(err)
	}
	f.Add([]byte{0x80, 0, 0, 2, 1, 0xc0})
	f.Add([]byte{0x80, 0, 0, 0, 0, 0, 0, 1, '1'})
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 2, '{'})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var v json.RawMessage
		var in buffer
		in.Write(data)
		err := newFrames(&in, func(byte, []byte) {}).ReadObject(&v)
		if err == nil && len(v) > MaxFrame {
			t.Fatalf("frame of %d bytes", len(v))
		}
	})
}

func TestFrameTooLongIsRefused(t *testing.T) {
	var tooLong *FrameTooLong
	if err := newFrames(&buffer{}, nil).WriteObject(make([]byte, MaxFrame)); !errors.As(err, &tooLong) {
		t.Fatalf("wrote it: %v", err)
	}
}
