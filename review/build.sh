#!/bin/sh
# Builds the stand-ins that the scripts start: the store, the engines and the clients are one program.
# It needs Go alone, and no module beside the standard library.
cd "$(dirname "$0")/standin" || exit 2
GOWORK=off exec go build -trimpath -o ../bin/standin .
