package store

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
)

const (
	currentFormat    = 1           // the format that this program writes, and the newest that it reads
	metadataBucket   = "chalkring" // the store's own bucket; callers cannot use it
	stateKey         = "state"     // the only key in metadataBucket
	stateRecordBytes = 40          // length of an encoded stateRecord
	checksumBytes    = 8           // length of the checksum before each value
)

// stateRecord summarizes all values of the store, and each transaction rewrites it. If a page is missing, or is valid in
// itself but older than the others, the summary differs from the values that are found.
type stateRecord struct {
	Format    uint32 // of the program that last wrote the file
	MinReader uint32 // the oldest format whose programs can read the file
	Records   uint64 // number of values
	Checksum  uint64 // sum of the checksums of all values, modulo 2^64
	Bytes     uint64 // of all keys and values with their checksums
	Writes    uint64 // number of transactions
}

func (r *stateRecord) encode() []byte {
	encoded := make([]byte, 0, stateRecordBytes)
	encoded = binary.LittleEndian.AppendUint32(encoded, r.Format)
	encoded = binary.LittleEndian.AppendUint32(encoded, r.MinReader)
	encoded = binary.LittleEndian.AppendUint64(encoded, r.Records)
	encoded = binary.LittleEndian.AppendUint64(encoded, r.Checksum)
	encoded = binary.LittleEndian.AppendUint64(encoded, r.Bytes)
	return binary.LittleEndian.AppendUint64(encoded, r.Writes)
}

// decodeState ignores bytes after the fields of this format, since a later format may add fields at the end.
func decodeState(encoded []byte) (*stateRecord, error) {
	if len(encoded) < stateRecordBytes {
		return nil, fmt.Errorf("the state record has %d bytes, too few for its fields", len(encoded))
	}
	return &stateRecord{
		Format:    binary.LittleEndian.Uint32(encoded),
		MinReader: binary.LittleEndian.Uint32(encoded[4:]),
		Records:   binary.LittleEndian.Uint64(encoded[8:]),
		Checksum:  binary.LittleEndian.Uint64(encoded[16:]),
		Bytes:     binary.LittleEndian.Uint64(encoded[24:]),
		Writes:    binary.LittleEndian.Uint64(encoded[32:]),
	}, nil
}

func getState(metadata *bolt.Bucket) (*stateRecord, error) {
	value, _, err := decodeRecord([]byte(metadataBucket), []byte(stateKey), metadata.Get([]byte(stateKey)))
	if err != nil {
		return nil, err
	}
	return decodeState(value)
}

func putState(metadata *bolt.Bucket, state *stateRecord) error {
	record, _ := encodeRecord(metadataBucket, stateKey, state.encode())
	return metadata.Put([]byte(stateKey), record)
}

// encodeRecord puts a value's checksum before the value. The checksum covers bucket and key too, so that a value that is
// stored under a wrong key is detected.
func encodeRecord(bucket, key string, value []byte) (record []byte, sum uint64) {
	sum = checksum([]byte(bucket), []byte(key), value)
	record = binary.LittleEndian.AppendUint64(make([]byte, 0, checksumBytes+len(value)), sum)
	return append(record, value...), sum
}

// decodeRecord returns a record's value, which shares the record's memory, and its checksum.
func decodeRecord(bucket, key, record []byte) (value []byte, sum uint64, err error) {
	if len(record) < checksumBytes {
		return nil, 0, fmt.Errorf("the record of key %.40q has %d bytes, too few for its checksum", key, len(record))
	}
	value, sum = record[checksumBytes:], binary.LittleEndian.Uint64(record)
	if sum != checksum(bucket, key, value) {
		return nil, 0, fmt.Errorf("the stored checksum of key %.40q in bucket %.40q does not match its value", key, bucket)
	}
	return value, sum, nil
}

// checksum covers the lengths of bucket and key as well, so that the same bytes have another checksum if they are split
// differently between the two.
func checksum(bucket, key, value []byte) uint64 {
	var lengths [16]byte
	binary.LittleEndian.PutUint64(lengths[:], uint64(len(bucket)))
	binary.LittleEndian.PutUint64(lengths[8:], uint64(len(key)))
	digest := xxhash.New()
	for _, part := range [][]byte{lengths[:], bucket, key, value} {
		_, _ = digest.Write(part) // never fails
	}
	return digest.Sum64()
}
