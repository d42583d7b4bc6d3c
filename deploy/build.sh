# Installs the daemon and its dependencies under target/deps.
set -eu
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -c constraints.txt -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/ragwortpaddled
cp -r packages/ragwortpaddled/src/ragwortpaddled target/deps/ragwortpaddled
