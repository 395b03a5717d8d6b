package claim

import (
	"fmt"
	"strconv"
	"strings"

	"foxtailcroft/internal/plat/store"
)

// ownerRecord is the value of a partition's owner key. Each takeover rewrites
// it, and a batch is written only if the key still has the owner's revision.
type ownerRecord struct {
	Endpoint    string
	Incarnation int64
	Nonce       string
}

// batch is one append to a partition's log.
type batch struct {
	Nonce  string
	Claims []keyClaim
}

// keyClaim is one key with the digest of the call that claimed it.
type keyClaim struct {
	Key    string
	Digest uint64
}

func ownerKey(service string, partition int) string {
	return fmt.Sprintf("%s%s/%d/owner", store.ClaimPrefix, service, partition)
}

func batchPrefix(service string, partition int) string {
	return fmt.Sprintf("%s%s/%d/log/", store.ClaimPrefix, service, partition)
}

func batchKey(service string, partition int, sequence int64) string {
	return fmt.Sprintf("%s%012d", batchPrefix(service, partition), sequence)
}

// sequenceFromKey returns the sequence number of a batch key, 0 if it has none.
func sequenceFromKey(key string) int64 {
	n, err := strconv.ParseInt(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
