package errkind

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// declaredKinds reads the constants of type Kind from the source, so that the
// test finds a kind that is missing from the table.
func declaredKinds(t *testing.T) []Kind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "errkind.go", nil, 0)
	require.NoError(t, err)
	var kinds []Kind
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != "Kind" {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		kinds = append(kinds, Kind(text))
		return true
	})
	return kinds
}

func TestEveryKindHasOneResponse(t *testing.T) {
	kinds := declaredKinds(t)
	require.Len(t, All(), len(kinds))
	exits := map[int]Kind{}
	for _, k := range kinds {
		response, ok := responses[k]
		require.True(t, ok, "kind %s is missing from the table", k)
		require.GreaterOrEqual(t, response.HTTPStatus, 400, "kind %s", k)
		require.NotZero(t, response.Code, "kind %s", k)
		require.NotEmpty(t, response.Retry, "kind %s", k)
		require.Contains(t, []RunState{NotRun, Unknown, Ran}, response.Run, "kind %s", k)
		require.NotContains(t, exits, response.Exit, "exit status of %s is already used", k)
		exits[response.Exit] = k
	}
}

func TestRetrySafeOnlyAfterNotRun(t *testing.T) {
	for _, k := range All() {
		response := Lookup(k)
		if response.Retry == RetrySafe {
			require.Equal(t, NotRun, response.Run, "kind %s", k)
		}
	}
}

func TestFromKeepsKindAndWrapsOtherErrors(t *testing.T) {
	wrapped := errors.Join(New(Overloaded, "queue full"))
	require.Equal(t, Overloaded, From(wrapped).Kind)
	other := From(errors.New("boom"))
	require.Equal(t, Internal, other.Kind)
	require.Equal(t, Unknown, other.Run)
}

// TestRetryAdviceDependsOnRunState checks every kind with every run state: the
// advice is RetrySafe only for work that was not run.
func TestRetryAdviceDependsOnRunState(t *testing.T) {
	for _, k := range All() {
		for _, run := range []RunState{NotRun, Unknown, Ran} {
			e := New(k, "x").WithRun(run)
			w := httptest.NewRecorder()
			Write(w, "id", e, 0)
			var doc Document
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &doc))
			require.Equal(t, e.Retry(), doc.Retry)
			if doc.Retry == RetrySafe {
				require.Equal(t, NotRun, run, "kind %s", k)
			}
			if run == NotRun && Lookup(k).Retry != RetryNever {
				require.Equal(t, RetrySafe, doc.Retry, "kind %s", k)
			}
		}
	}
}
