#!/usr/bin/env bash
# Checks the formatting and runs go vet, staticcheck and revive in all modules.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(git ls-files '*.go' | xargs gofmt -s -l)
if [ -n "$unformatted" ]; then
  echo "Not formatted; run gofmt -s -w on:" >&2
  echo "$unformatted" >&2
  exit 1
fi
(cd tools && GOWORK=off go build -o ../bin/ honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive)
for module in $(go list -m -f '{{.Dir}}'); do
  (cd "$module" && go vet ./... && "$OLDPWD/bin/staticcheck" ./... &&
    "$OLDPWD/bin/revive" -config "$OLDPWD/revive.toml" -set_exit_status ./...)
done
