package wal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"limehold/consensus"
)

const identityFile = "identity.json"

// Identity binds a data folder to a member.
type Identity struct {
	// Name is the member's name in the settings. The folder is rejected under another name.
	Name string `json:"name"`
	// ID is generated at random when the folder is first used.
	ID consensus.MemberID `json:"id"`
	// Formed is true once the folder has belonged to a group. A formed folder
	// without a log has lost data.
	Formed bool `json:"formed"`
}

// LoadIdentity reads the folder's identity, or creates one in a new folder.
func LoadIdentity(folder, name string) (Identity, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return Identity{}, eris.Wrapf(err, "create data folder %s", folder)
	}
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if os.IsNotExist(err) {
		return newIdentity(folder, name)
	}
	if err != nil {
		return Identity{}, eris.Wrapf(err, "read identity in %s", folder)
	}
	var identity Identity
	if err := json.Unmarshal(data, &identity); err != nil {
		return Identity{}, eris.Wrapf(err, "decode identity in %s", folder)
	}
	if identity.Name != name {
		return Identity{}, eris.Errorf("data folder %s belongs to member %q, but this process is member %q: point data_folder at the folder of %q, or at an empty one and use 'limehold member replace'", folder, identity.Name, name, name)
	}
	return identity, nil
}

func newIdentity(folder, name string) (Identity, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return Identity{}, eris.Wrap(err, "generate member ID")
	}
	identity := Identity{Name: name, ID: consensus.MemberID(binary.LittleEndian.Uint64(random[:]) | 1)}
	return identity, SaveIdentity(folder, identity)
}

// SaveIdentity writes the identity durably.
func SaveIdentity(folder string, identity Identity) error {
	data, err := json.MarshalIndent(identity, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	return WriteFileDurably(filepath.Join(folder, identityFile), data)
}
