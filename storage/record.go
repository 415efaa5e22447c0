package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind is the type of a record's body.
type recordKind byte

const (
	kindSegmentStart recordKind = 1 // first record of a segment: the incarnation
	kindEntry        recordKind = 2 // consensus.Entry
	kindHardState    recordKind = 3 // consensus.HardState
	kindReset        recordKind = 4 // discards all earlier entries; no body
	kindSnapshot     recordKind = 5 // consensus.Snapshot
)

const (
	// headerBytes is the size of length, kind and the two checksums.
	headerBytes = 13
	// endMark is not zero, so that a record whose tail was not written is torn.
	endMark = 0xA5
	// maxRecordBytes bounds the body of a record.
	maxRecordBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one decoded record. The body shares memory with the input.
type record struct {
	kind recordKind
	body []byte
}

// size returns the encoded size of the record in bytes.
func (r record) size() int { return headerBytes + len(r.body) + 1 }

// appendRecord appends the encoded record to buffer.
func appendRecord(buffer []byte, r record) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(r.body)))
	buffer = append(buffer, byte(r.kind))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(r.body, castagnoli))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:], castagnoli))
	buffer = append(buffer, r.body...)
	return append(buffer, endMark)
}

// decodeFault is the reason why no record could be decoded.
type decodeFault string

const (
	faultNone   decodeFault = ""
	faultTorn   decodeFault = "record is cut short"
	faultHeader decodeFault = "header checksum does not match"
	faultBody   decodeFault = "body checksum does not match"
	faultEnd    decodeFault = "end mark is missing"
)

// decodeRecord reads the first record of data, which is not empty. faultTorn
// means that data is what a crash may leave of an unsynced write.
func decodeRecord(data []byte) (record, decodeFault) {
	if len(data) < headerBytes || allZero(data) {
		return record{}, faultTorn
	}
	headerSum := binary.LittleEndian.Uint32(data[9:])
	length := uint64(binary.LittleEndian.Uint32(data))
	if headerSum != crc32.Checksum(data[:9], castagnoli) || length > maxRecordBytes {
		return record{}, tornOr(data, headerBytes, faultHeader)
	}
	if uint64(len(data)) < headerBytes+length+1 {
		return record{}, faultTorn
	}
	end := headerBytes + int(length)
	body := data[headerBytes:end:end]
	if binary.LittleEndian.Uint32(data[5:]) != crc32.Checksum(body, castagnoli) {
		return record{}, tornOr(data, end+1, faultBody)
	}
	if data[end] != endMark {
		return record{}, tornOr(data, end+1, faultEnd)
	}
	return record{kind: recordKind(data[4]), body: body}, faultNone
}

// tornOr returns faultTorn for a partly written record, whose last byte and
// everything after it are still zero, and the given fault for a damaged one.
func tornOr(data []byte, length int, fault decodeFault) decodeFault {
	if allZero(data[length-1:]) {
		return faultTorn
	}
	return fault
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
