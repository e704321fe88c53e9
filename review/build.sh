#!/bin/sh
# The stand-ins are Python (3.8 or later, standard library only) and run as they are: this checks
# that they can. The gateway comes from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
python3 - <<'CHECK' || exit 1
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for path in sorted(glob.glob("review/*.py") + glob.glob("review/*/*.py")):
    ast.parse(open(path, encoding="ascii").read(), path)
    print("checked", path)
CHECK
test -x target/irisstall-gateway || { echo "target/irisstall-gateway is not built"; exit 1; }
