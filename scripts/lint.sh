#!/usr/bin/env bash
# Checks formatting, vet and the linters over all modules.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(git ls-files '*.go' | xargs gofmt -s -l)
if [ -n "$unformatted" ]; then
  echo "gofmt -s has to be run on:" >&2
  echo "$unformatted" >&2
  exit 1
fi
(cd tools && GOWORK=off go build -o ../bin/ honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive)
for module in $(go list -m -f '{{.Dir}}'); do
  (cd "$module" && go vet ./... && "$OLDPWD/bin/staticcheck" ./... && "$OLDPWD/bin/revive" -config "$OLDPWD/revive.toml" -set_exit_status ./...)
done
