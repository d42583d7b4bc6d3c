# Installs the daemon and its dependencies under target/deps.
set -eu
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -c constraints.txt -r deploy/requirements.txt
    touch target/deps/.installed
fi
# A build beside running daemons must not remove modules that they are about to import.
source=packages/ragwortpaddled/src/ragwortpaddled
if ! diff -rq -x __pycache__ "$source" target/deps/ragwortpaddled > /dev/null 2>&1; then
    rm -rf target/deps/ragwortpaddled
    cp -r "$source" target/deps/ragwortpaddled
fi
