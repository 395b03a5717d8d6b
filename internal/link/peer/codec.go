package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// MaxFrame bounds the bytes of one message, so that no message holds up the others for long.
const MaxFrame = 512 << 10

// FrameTooLong reports a message over MaxFrame.
type FrameTooLong struct {
	Bytes int
}

// Error names the size and the bound.
func (e *FrameTooLong) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the frame bound of %d bytes", e.Bytes, MaxFrame)
}

// frameCodec writes each JSON message behind its length in four bytes, big-endian.
type frameCodec struct{}

// WriteObject writes one frame.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxFrame {
		return &FrameTooLong{len(data)}
	}
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(data)))
	if _, err := w.Write(size[:]); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject reads one frame.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > MaxFrame {
		return &FrameTooLong{int(n)}
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
