package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"unicode"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/core/site"
)

// maxKeyBytes bounds the length of a key, which must fit into a header.
const maxKeyBytes = 4096

// lineBreakBytes is the length of the longest line break that may follow a key.
const lineBreakBytes = 2

// The errors of a key that cannot be used; they don't repeat the input.
var (
	errKeyArgument = errors.New("the key is read from standard input, not from an argument, which other users could read")
	errUnusableKey = fmt.Errorf("standard input must hold one key of 1 to %d printable ASCII characters without spaces", maxKeyBytes)
)

func digestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "digest < FILE",
		Short: "Print the digest of a key read from standard input, for the Keys of an Account",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return errKeyArgument
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := readKey(cmd.InOrStdin())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), site.DigestKey(key))
			return err
		},
	}
}

// readKey reads a key and drops the line break at its end.
func readKey(in io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+lineBreakBytes+1))
	if err != nil {
		return "", err
	}
	key := bytes.TrimSuffix(bytes.TrimSuffix(data, []byte("\n")), []byte("\r"))
	unusable := func(r rune) bool { return r <= ' ' || r >= unicode.MaxASCII }
	if len(key) == 0 || len(key) > maxKeyBytes || bytes.ContainsFunc(key, unusable) {
		return "", errUnusableKey
	}
	return string(key), nil
}
