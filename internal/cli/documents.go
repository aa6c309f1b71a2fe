package cli

import (
	"io"
	"os"

	"github.com/tailscale/hujson"
)

// readDocument reads a JSON document, comments allowed, from the file named or
// from the standard input for "-".
func (t *Tool) readDocument(name string) ([]byte, error) {
	raw, err := t.readFile(name)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	// A comment on the last line needs the line's end.
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

// printRaw writes a document as it was received, with one last newline.
func (t *Tool) printRaw(raw []byte) error {
	_, err := t.Out.Write(append(trimNewlines(raw), '\n'))
	return err
}
