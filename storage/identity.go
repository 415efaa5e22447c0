package storage

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/juju/errors"
)

const (
	identityFile    = "identity"
	lockFile        = "lock"
	temporarySuffix = ".tmp"
)

// identity is the content of the identity file.
type identity struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Started is set before the first record is written. A folder without a
	// log whose identity is started has lost the log.
	Started bool `json:"started"`
}

// newIncarnation returns 8 random bytes in hexadecimal.
func newIncarnation() string {
	raw := make([]byte, 8)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}

func readIdentity(fs FileSystem) (identity, error) {
	var id identity
	data, err := fs.Read(identityFile)
	if err != nil {
		return id, errors.Annotate(err, "read identity")
	}
	if err := json.Unmarshal(data, &id); err != nil || id.Incarnation == "" {
		return id, &CorruptionError{File: identityFile, Reason: "identity cannot be decoded"}
	}
	return id, nil
}

func writeIdentity(fs FileSystem, id identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return errors.Annotate(replaceFile(fs, identityFile, data), "write identity")
}

// replaceFile writes a file under a temporary name, syncs it, renames it and
// syncs the folder, so that a crash leaves the old or the new contents.
func replaceFile(fs FileSystem, name string, data []byte) error {
	file, err := fs.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Annotate(err, name+temporarySuffix)
	}
	if err := fs.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return fs.SyncFolder()
}
