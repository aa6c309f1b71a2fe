package cli

import (
	"io"
	"os"

	"github.com/tailscale/hujson"
)

// readDocument reads a JSON document, which may contain comments, from the named
// file, or from standard input if the name is "-". It returns plain JSON.
func (t *Tool) readDocument(name string) ([]byte, error) {
	raw, err := t.readFile(name)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	// A comment on the last line must be terminated by a newline.
	plain, err := hujson.Standardize(append(raw, '\n'))
	if err != nil {
		return nil, usageErrorf("%s: %v", name, err)
	}
	return plain, nil
}

func (t *Tool) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(t.In)
	}
	return os.ReadFile(name)
}

// printRaw writes a document as received, ending in exactly one newline.
func (t *Tool) printRaw(raw []byte) error {
	_, err := t.Out.Write(append(trimNewlines(raw), '\n'))
	return err
}
