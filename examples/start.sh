#!/bin/sh
# Starts an example deployment on loopback: the platform's and targets' stand-ins and seven entry VMs,
# and rolls its bundle out. Stop it with Ctrl-C. Logs go to bin/run/.
#
#	examples/start.sh instituto|kartuli
set -eu
cd "$(dirname "$0")/.."
deployment=${1:-instituto}
store=127.0.0.1:7000
logs=bin/run
mkdir -p "$logs"
go build -o bin/ ./papayahead ./papayastand

started=
stop() {
	trap - INT TERM EXIT
	for p in $started; do kill "$p" 2>/dev/null || true; done
	wait
}
trap stop INT TERM EXIT

bin/papayastand platform --address "$store" --machines "examples/$deployment-machines.json" \
	--bundle "examples/$deployment.json" 2>"$logs/platform.log" &
started="$started $!"
bin/papayastand target --bundle "examples/$deployment.json" >"$logs/targets.log" 2>&1 &
started="$started $!"

# One line for each entry VM: name, zone, callers' address, peers' address.
sed -n 's/.*"\(Name\|Zone\|CallerAddress\|PeerAddress\)": "\([^"]*\)".*/\2/p' "examples/$deployment-machines.json" |
	paste -d ' ' - - - - >"$logs/entries"
while read -r name zone callers peers; do
	bin/papayahead entry --name "$name" --zone "$zone" --region "${zone%-*}" --deployment "$deployment" \
		--callers "$callers" --peers "$peers" --operators "${callers%:*}:8003" --dial-from "${callers%:*}" \
		--store "http://$store" 2>"$logs/$name.log" &
	started="$started $!"
	echo "$name $zone: callers $callers, operators ${callers%:*}:8003, process $!"
done <"$logs/entries"

export PAPAYAHEAD_STORE="http://$store" PAPAYAHEAD_DEPLOYMENT="$deployment"
until bin/papayahead bundle status >/dev/null 2>&1; do sleep 0.2; done
digest=$(bin/papayahead bundle --operator ana --output json propose "examples/$deployment.json" |
	sed -n 's/.*"Digest": *"\([0-9a-f]*\)".*/\1/p' | head -n 1)
bin/papayahead bundle --operator berta review "$digest" >/dev/null
bin/papayahead bundle --operator berta sign-off "$digest"
bin/papayahead bundle --operator ana roll-out "$digest"
echo "ready; Ctrl-C stops all"
wait
