// Package docs holds the pages for users and operators. The tests check that the
// pages match the code.
package docs

import (
	"bytes"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/cli"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/settings"
)

func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	return string(data)
}

// constants returns the values of a source file's string constants by name.
func constants(t *testing.T, path string) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	found := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for i, value := range spec.Values {
			if literal, ok := value.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				text, err := strconv.Unquote(literal.Value)
				require.NoError(t, err)
				found[spec.Names[i].Name] = text
			}
		}
		return true
	})
	return found
}

func TestEveryErrorKindIsOnBothPages(t *testing.T) {
	api, operating := page(t, "API.md"), page(t, "OPERATING.md")
	for _, k := range errkind.All() {
		r := errkind.Lookup(k)
		row := fmt.Sprintf("| `%s` | %d | %s | %d | `%s` | `%s` |", k, r.HTTPStatus, r.Code, r.Exit, r.Run, r.Retry)
		require.Contains(t, api, row)
		require.Contains(t, operating, fmt.Sprintf("| `%s` |", k))
	}
}

func TestPagesNameNoRemovedErrorKind(t *testing.T) {
	known := map[string]bool{}
	for _, k := range errkind.All() {
		known[string(k)] = true
	}
	rows := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [0-9]{3} \\|").FindAllStringSubmatch(page(t, "API.md"), -1)
	require.NotEmpty(t, rows)
	for _, row := range rows {
		require.True(t, known[row[1]], row[1])
	}
}

func TestEveryHeaderAndPathIsOnTheAPIPage(t *testing.T) {
	api := page(t, "API.md")
	files := []string{
		"../internal/callerapi/callerapi.go", "../internal/backendapi/backendapi.go",
		"../internal/workerapi/workerapi.go", "../internal/daemon/operator/operator.go",
	}
	for _, path := range files {
		for name, text := range constants(t, path) {
			if strings.HasPrefix(name, "Header") || strings.HasPrefix(name, "Path") {
				require.Contains(t, api, text, "%s in %s", name, path)
			}
		}
	}
}

func TestEveryLogPrefixIsOnTheOperatingPage(t *testing.T) {
	operating := page(t, "OPERATING.md")
	for name, text := range constants(t, "../internal/decision/record.go") {
		if strings.HasPrefix(name, "Part") {
			require.Contains(t, operating, fmt.Sprintf("| `%s` |", text))
		}
	}
}

func TestEverySettingIsOnTheOperatingPage(t *testing.T) {
	operating := page(t, "OPERATING.md")
	var walk func(prefix string, typ reflect.Type)
	walk = func(prefix string, typ reflect.Type) {
		for i := range typ.NumField() {
			tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			name := prefix + tag
			if typ.Field(i).Type.Kind() == reflect.Struct {
				walk(name+".", typ.Field(i).Type)
				continue
			}
			require.Contains(t, operating, fmt.Sprintf("| `%s` |", name))
		}
	}
	walk("", reflect.TypeFor[settings.Settings]())
}

var (
	// publishedPattern matches the names of published expvar variables and maps.
	publishedPattern = regexp.MustCompile(`expvar\.(?:New\w+|Publish)\("([^"]+)"`)
	// mapKeyPattern matches the keys that a source file adds to its expvar maps.
	mapKeyPattern = regexp.MustCompile(`(?i)(?:metrics|counters|stats)\.(?:Add|AddFloat|Set)\("([^"]+)"`)
)

// TestEveryMetricIsOnTheMetricsPage checks the metric names found in the source.
func TestEveryMetricIsOnTheMetricsPage(t *testing.T) {
	metrics := page(t, "METRICS.md")
	err := filepath.WalkDir("../internal", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, pattern := range []*regexp.Regexp{publishedPattern, mapKeyPattern} {
			for _, match := range pattern.FindAllSubmatch(source, -1) {
				require.Contains(t, metrics, "`"+string(match[1])+"`", path)
			}
		}
		return nil
	})
	require.NoError(t, err)
}

// refusingTransport fails every request as if the connection were refused.
type refusingTransport struct{}

func (refusingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection refused")
}

// argumentPattern matches one argument of a command line. Quoted words form one
// argument.
var argumentPattern = regexp.MustCompile(`"[^"]*"|'[^']*'|[^\s]+`)

// TestCommandsOnThePagesAreWellFormed runs each example command without a
// reachable host and checks that it is no usage error. It skips examples that
// name JSON files, because those files do not exist.
func TestCommandsOnThePagesAreWellFormed(t *testing.T) {
	example := regexp.MustCompile(`(?m)^    (?:bin/)?parsleyhill ([^#\n]+)`)
	count := 0
	for _, name := range []string{"../README.md", "OPERATING.md"} {
		for _, match := range example.FindAllStringSubmatch(page(t, name), -1) {
			if strings.Contains(match[1], ".json") {
				continue
			}
			var args []string
			for _, word := range argumentPattern.FindAllString(match[1], -1) {
				args = append(args, strings.Trim(word, `"'`))
			}
			synctest.Test(t, func(t *testing.T) {
				var errOut bytes.Buffer
				tool := cli.Tool{In: strings.NewReader(""), Out: io.Discard, Err: &errOut, Transport: refusingTransport{}}
				require.NotEqual(t, 2, tool.Run(t.Context(), args), "%s: %s", match[0], errOut.String())
			})
			count++
		}
	}
	require.Greater(t, count, 5)
}

// TestLinksBetweenPagesResolve checks that the targets of relative links exist.
func TestLinksBetweenPagesResolve(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	notes, err := filepath.Glob("design/*.md")
	require.NoError(t, err)
	for _, name := range append(append(pages, notes...), "../README.md") {
		for _, match := range link.FindAllStringSubmatch(page(t, name), -1) {
			require.FileExists(t, filepath.Join(filepath.Dir(name), match[1]), name)
		}
	}
}
