package claims

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthornshore.example/structs"
)

// Partition returns the partition of a job ID, from 0 to structs.Partitions-1.
func Partition(id structs.JobID) int {
	return int(xxhash.Sum64(id[:]) % structs.Partitions)
}

// Owner returns the member that owns a partition, or "" without members. The
// order of members does not matter.
func Owner(members []string, partition int) string {
	owner, _ := topTwo(members, partitionKey(partition))
	return owner
}

// Backup returns the member that keeps copies of a partition's claims, or ""
// with fewer than two members. It becomes the owner if the owner is removed from
// members.
func Backup(members []string, partition int) string {
	_, backup := topTwo(members, partitionKey(partition))
	return backup
}

// Manager returns the live member that grants the slots of a target, or ""
// without members.
func Manager(members []string, targetID string) string {
	manager, _ := topTwo(members, xxhash.Sum64String(targetID))
	return manager
}

// partitionKey spreads the small partition numbers over 64 bits.
func partitionKey(partition int) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(partition))
	return xxhash.Sum64(b[:])
}

// topTwo returns the two members with the highest rendezvous scores for a key.
// Equal scores are ordered by name, so that all instances agree.
func topTwo(members []string, key uint64) (first, second string) {
	var firstScore, secondScore uint64
	for _, m := range members {
		s := score(m, key)
		switch {
		case m == first || m == second:
		case first == "" || s > firstScore || s == firstScore && m < first:
			second, secondScore = first, firstScore
			first, firstScore = m, s
		case second == "" || s > secondScore || s == secondScore && m < second:
			second, secondScore = m, s
		}
	}
	return first, second
}

func score(member string, key uint64) uint64 {
	var buf [structs.MaxNameLength + 8]byte
	b := binary.LittleEndian.AppendUint64(buf[:0], key)
	return xxhash.Sum64(append(b, member...))
}
