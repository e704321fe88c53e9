# bash completion for irisctl
_irisctl() {
    local cur=${COMP_WORDS[COMP_CWORD]}
    local commands="table set export import drain undrain put status explain check trace quarantine account rollout"
    local options="--instance= --platform= --json --history= --help --version"
    case ${COMP_WORDS[COMP_CWORD - 1]} in
    table) mapfile -t COMPREPLY < <(compgen -W "show" -- "$cur") ;;
    quarantine) mapfile -t COMPREPLY < <(compgen -W "show lift" -- "$cur") ;;
    rollout) mapfile -t COMPREPLY < <(compgen -W "list show" -- "$cur") ;;
    account) mapfile -t COMPREPLY < <(compgen -W "list show" -- "$cur") ;;
    put) mapfile -t COMPREPLY < <(compgen -W "table region topology blocks" -- "$cur") ;;
    check | import | trace) mapfile -t COMPREPLY < <(compgen -f -- "$cur") ;;
    *)
        if [[ $cur == -* ]]; then
            mapfile -t COMPREPLY < <(compgen -W "$options" -- "$cur")
        elif ((COMP_CWORD >= 3)); then
            mapfile -t COMPREPLY < <(compgen -S = -W "weight limit rate cap state" -- "$cur")
        else
            mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$cur")
        fi
        ;;
    esac
}
complete -o nospace -F _irisctl irisctl
complete -W "--config= --check --help --version" irisstall-entry
complete -W "-c --seconds= --rate= --seed= --history= --tsv= --experiment= --variant= --quiet" irisstall-load
complete -f irisstall-check
complete -W "--config= --log= --test --help --version" irisstall-gateway
