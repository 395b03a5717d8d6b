package pack

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID names the base in the encoding; the ends agree on it by its digest.
	dictionaryID = 1
	// minWindowBytes and maxWindowBytes bound how far back an encoding refers, which takes as much memory.
	minWindowBytes = 64 << 10
	maxWindowBytes = 8 << 20
)

// Encode returns the compressed value. With a base, which may be nil, Decode needs the same one.
func Encode(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(value) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	out := w.EncodeAll(value, nil)
	return out, w.Close()
}

// windowFor returns the smallest power of two within the bounds that holds n bytes.
func windowFor(n int) int {
	return min(maxWindowBytes, max(minWindowBytes, 1<<bits.Len(uint(n))))
}

// Decode returns the value of up to maxBytes that Encode compressed with the same base.
func Decode(data, base []byte, maxBytes int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(max(maxBytes, minWindowBytes))),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(data, nil)
}
