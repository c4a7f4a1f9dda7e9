package bronzefleet

// Reasons that Fleet.Count is called with.
const (
	CountSuspected        = "MemberSuspected"       // this node suspects a member
	CountReached          = "MemberReachedByOthers" // a silent member that others reach
	CountDied             = "MemberDied"            // this node declared a member dead
	CountRefuted          = "SuspicionRefuted"      // this node answered a claim about itself
	CountDeathUnconfirmed = "DeathUnconfirmed"      // a claim of death taken as a suspicion
	CountNameTaken        = "MemberNameTaken"       // a second process under one name
	CountFenced           = "Fenced"                // this process woke up late
	CountFenceUnanswered  = "FenceUnanswered"       // no peer answered after a pause
	CountJoinUnanswered   = "JoinUnanswered"        // no peer answered while joining
	CountLate             = "RoundLate"             // a round began late, deadlines were extended
	CountSynced           = "ListsExchanged"        // member lists differed for long
	CountSendFailed       = "MemberSendFailed"      // Send returned an error
)
