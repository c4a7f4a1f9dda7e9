package bronzefleet

// Reasons that Fleet.Count is called with.
const (
	CountSuspected        = "MemberSuspected"       // this node suspects a member
	CountReached          = "MemberReachedByOthers" // a silent member that others reach
	CountDied             = "MemberDied"            // this node declared a member dead
	CountRefuted          = "SuspicionRefuted"      // this node answered a claim about itself
	CountDeathUnconfirmed = "DeathUnconfirmed"      // a claim of death was taken as a suspicion
	CountNameTaken        = "MemberNameTaken"       // a second process under one name
	CountFenced           = "Fenced"                // this process was paused for longer than its lease
	CountFenceUnanswered  = "FenceUnanswered"       // no peer answered after a pause
	CountJoinUnanswered   = "JoinUnanswered"        // no peer answered while joining
	CountLate             = "RoundLate"             // a tick was late, deadlines were extended
	CountSynced           = "ListsExchanged"        // member lists differed over several heartbeats
	CountSendFailed       = "MemberSendFailed"      // Send returned an error
)
